"""The capacity table as Markdown for `docs/CAPACITY.md` and as plain text for a terminal."""
