"""The disk of a signalbox: records that are there after a loss of power once they were acknowledged."""
