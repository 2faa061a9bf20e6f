-- A frozen upstream resumes after its slices were reassigned. It must not use its expired leases or old fences.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
reset_gaps()
freeze("d0u0", 5000)
run(4000)
expect(unowned() == 0, "its positions are served by others while it is frozen")
expect(longest_gap() <= 1000, "they were away for at most 1 s")
run(4000)
expect(two_owners() == 0, "its return gave no position a second owner")
