# No machine is up at the start, and machines rented in the first twenty seconds never
# come up, though they use the capacity of the cloud until they are released.
name = "cold-machine"
base = "site.hcl"

machine_type "small" {
  ordinary = 3
  spot = 2
  up = 0
}

fault "cold" {
  kind = "boots_cold"
  at_s = 0
  for_s = 20
}
