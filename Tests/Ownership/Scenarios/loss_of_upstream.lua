-- An upstream is killed. Its slices, and no others, are reassigned.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
reset_gaps()
show()
say("the upstream d0u1 is killed")
kill("d0u1")
run(3000)
show()
expect(unowned() == 0, "every position has an owner")
expect(longest_gap() <= 1000, "no position was without one for more than 1 s")
expect(slices_of("d0u1") == 0, "the lost upstream owns nothing")
expect(two_owners() == 0, "no position had two owners")
