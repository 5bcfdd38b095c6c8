"""Files and messages as commit c0e5f5c wrote them are read, and written byte for byte the same.

`make_data.py` says how the data was made. It is never made anew: whoever changes a format adds a reader for
the old one, and data of the new one beside this.
"""
