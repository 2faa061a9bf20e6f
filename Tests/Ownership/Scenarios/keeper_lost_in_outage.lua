-- Two faults at once: the store is down and a keeper is killed. The tenures of its domain expire, as
-- docs/OWNERSHIP.md describes.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
store("down")
run(2000)
kill("d0k1")
run(5000)
expect(unowned() > 0, "the domain of the lost keeper has stopped")
expect(unowned() <= 40, "the other domain goes on")
store("up")
run(4000)
expect(unowned() == 0, "all positions are served again")
expect(two_owners() == 0, "no position had two owners")
