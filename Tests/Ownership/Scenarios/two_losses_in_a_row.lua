-- Three upstreams are killed in a row, each while the slices of the one before are being reassigned.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
kill("d0u0")
run(450)
kill("d0u1")
run(450)
kill("d1u0")
run(4000)
expect(unowned() == 0, "the remaining upstreams own everything")
expect(two_owners() == 0, "no position had two owners")
