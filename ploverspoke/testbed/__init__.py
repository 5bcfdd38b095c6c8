"""A world to prove the dispatcher in: a fleet model on virtual time and on sockets. Not part of the
product.
"""
