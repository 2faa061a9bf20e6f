-- A domain cannot reach the store but can reach the other domains. All positions keep their owners under either
-- policy.
for _, policy in ipairs{"hold", "release"} do
    estate{domains = 2, keepers = 3, upstreams = 3, cut_off = policy}
    run(3000)
    reset_gaps()
    cut_both("d0", "store")
    run(20000)
    expect(longest_gap() <= 10, policy .. ": no position was away")
    expect(two_owners() == 0, policy .. ": no position had two owners")
end
