"""Writes wigeonport/struct_layouts.json from the ``.thrift`` files.

Usage: write_struct_layouts.py

A test compares the committed file with the output of this script.
"""

from wigeonport.struct_layouts import LAYOUT_FILE, make_document

if __name__ == "__main__":
    LAYOUT_FILE.write_text(make_document(), "utf-8")
