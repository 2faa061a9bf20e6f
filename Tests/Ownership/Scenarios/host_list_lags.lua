-- The platform's host list is not updated while a keeper and an upstream fail.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
reset_gaps()
host_list("frozen")
kill("d0u2")
kill("d1k1")
run(5000)
expect(unowned() == 0, "losses are mended without the list")
expect(longest_gap() <= 1000, "no position was away for more than 1 s")
expect(two_owners() == 0, "no position had two owners")
