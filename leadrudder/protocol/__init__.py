"""What travels between leadrudder's own processes: protobuf messages, and the verdict on a request."""
