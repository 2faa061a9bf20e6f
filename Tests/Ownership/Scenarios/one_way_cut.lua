-- Messages between the primary keeper and an upstream pass in one direction only. A peer that reaches the upstream
-- renews its leases.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
reset_gaps()
for i = 0, 2 do cut("d0u0", "d0k" .. i == "d0k0" and "d0k0" or "d0k1") end
run(6000)
expect(unowned() == 0, "the keeper that still hears the upstream renews its lease")
expect(longest_gap() <= 1000, "no position was away for more than 1 s")
expect(two_owners() == 0, "no position had two owners")
