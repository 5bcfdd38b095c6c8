"""The schema of a replica's SQLite file. Its names are stored in existing files and must not change.

The table `told` holds single values by key, `entries` the log, and `snapshot` at most one row.
"""

FORMAT_VERSION = 1
DATABASE_FILE = "store.db"
STORAGE_ID_BYTES = 8

# Keys of the table `told`.
FORMAT_KEY = "format"
STORAGE_ID_KEY = "disk"
REPLICA_ID_KEY = "me"
FINGERPRINT_KEY = "fingerprint"
VOTE_KEY = "vote"
FIRST_MEMBERS_KEY = "first members"

# SQLite stores the text of these statements; compatibility tests compare it with that of older releases.
CREATE_TABLES = """
create table if not exists told (key text primary key, value blob) without rowid;
create table if not exists entries (at integer primary key, term integer, body blob, sum integer);
create table if not exists snapshot (one integer primary key, at integer, term integer, members blob,
                                     state blob, sum integer);
"""
