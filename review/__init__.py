"""The independent review: cases, their stand-ins, and the report."""
