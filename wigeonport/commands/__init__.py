"""Commands of ``wigeonport``; each is registered under its name."""

from wigeonport.registries import Registry

commands = Registry("command-line command")
