-- A keeper stops cleanly while the store is down. The others continue because it has announced that it left.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
store("down")
run(2000)
reset_gaps()
stop("d0k1")
run(5000)
expect(unowned() == 0, "the remaining keepers go on without the store")
expect(two_owners() == 0, "no position had two owners")
