# Partial network failures: one controller is cut off from the state service, one gets
# no answers from it, one hears no machine, and one is cut off from a zone; controllers
# refuse each other's connections for part of the time.
name = "links-fall"
base = "site.hcl"
duration_s = 70
settle_s = 120

fault "store-cut" {
  kind = "store_cut"
  at_s = 8
  for_s = 20
  controller = 0
}

fault "store-mute" {
  kind = "store_mute"
  at_s = 30
  for_s = 18
  controller = 1
}

fault "deaf" {
  kind = "controller_deaf"
  at_s = 36
  for_s = 15
  controller = 2
}

fault "zone-link" {
  kind = "zone_link_cut"
  at_s = 54
  for_s = 14
  zone = "hall-b"
  controller = 0
}

fault "peers" {
  kind = "peers_refused"
  at_s = 12
  for_s = 8
}
