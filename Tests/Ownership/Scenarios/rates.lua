-- Load on the store and the network in a cluster without failures.
estate{domains = 2, keepers = 3, upstreams = 3}
run(5000)
local reads, writes, bytes = store_reads(), store_writes(), bytes_sent("d0k0")
run(60000)
expect(store_writes() == writes, "no writes in a quiet minute")
-- The simulation reads each watched key four times a second instead of using a watch: three keys at each of six
-- keepers, and the head of the configuration at the two watchers of each domain.
expect((store_reads() - reads) / 60 <= 6 * 3 * 4 + 4 * 4 + 6, "no reads beyond those that stand for watches")
expect((bytes_sent("d0k0") - bytes) / 60 <= 4096, "at most 4 KB a second to other keepers")
