"""The base of all tables of an experiment file."""

import msgspec


class ExperimentTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table in which an unknown key is an error.

    Fields use the terms of `docs/glossary.md`; `rename` maps them to the keys of the file.
    """
