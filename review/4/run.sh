#!/usr/bin/env bash
cd "$(dirname "$0")"
exec timeout -s INT 118 python3 run.py
