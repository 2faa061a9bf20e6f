-- A domain is partitioned from the store and all other domains. Under `hold` it keeps its keys.
estate{domains = 2, keepers = 3, upstreams = 3, cut_off = "hold"}
run(3000)
reset_gaps()
cut_both("d0", "*")
run(20000)
expect(unowned() == 0, "both sides go on with their own positions")
expect(longest_gap() <= 10, "no position was away")
heal()
run(3000)
expect(two_owners() == 0, "no position had two owners")
