-- A keeper is paused while it renews leases, and resumes later with outdated state.
estate{domains = 2, keepers = 3, upstreams = 3}
run(3000)
reset_gaps()
freeze("d0k0", 2500)
run(100)
kill("d0u0")
run(5000)
expect(unowned() == 0, "the upstream lost meanwhile is replaced")
expect(two_owners() == 0, "the paused keeper granted nothing that was no longer its to grant")
