"""Assignment of replica sets to the instances that send to them."""
