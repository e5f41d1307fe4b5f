# Acknowledged writes that grant machines are lost, four times.
name = "lost-machines"
base = "site.hcl"

fault "lose" {
  kind = "write_lost"
  at_s = 3
  prefix = "fq/h/"
  count = 4
}
