-- Upstreams accept grants without checking fences. Moves and losses must be as safe as with the check.
estate{domains = 2, keepers = 3, upstreams = 3, fences = "unchecked"}
run(3000)
reset_gaps()
drain("d0u0")
run(3000)
expect(slices_of("d0u0") == 0, "the leaving upstream has given up its slices")
expect(longest_gap() <= 100, "no position was away for more than 100 ms")
kill("d0u1")
run(3000)
expect(unowned() == 0, "the killed upstream is replaced")
expect(two_owners() == 0, "no position had two owners")
