"""The operators' commands, each registered under its name."""

from wigeonport.registries import Registry

commands = Registry("command-line command")
