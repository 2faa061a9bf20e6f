-- A domain is partitioned from the store and all other domains. Under `release` it stops granting, and the others
-- take over its keys.
estate{domains = 3, keepers = 3, upstreams = 3, cut_off = "release"}
run(3000)
reset_gaps()
show()
cut_both("d0", "*")
run(5000)
show()
expect(unowned() == 0, "the other domains serve its positions")
expect(longest_gap() <= 1000, "they were away for at most 1 s")
expect(two_owners() == 0, "no position had two owners")
heal()
run(20000)
expect(unowned() == 0, "all positions are served after its return")
expect(two_owners() == 0, "its return gave no position a second owner")
