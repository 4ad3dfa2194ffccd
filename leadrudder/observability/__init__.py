"""What a process tells of itself: figures as text, and checks that count their violations."""
