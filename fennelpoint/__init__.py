"""fennelpoint: quota decisions for a gateway in front of a shared back end."""

from fennelpoint.control import Controller

__all__ = ["Controller"]
