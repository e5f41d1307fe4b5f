# Nothing stands there, and for the first twenty seconds whatever is rented
# never comes up, though it takes the cloud's room until it is given back.
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
