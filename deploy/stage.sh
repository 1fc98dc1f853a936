#!/bin/sh
# Copies the packages that an entry needs beside its dependencies.
set -eu
for package in model http store scheduling platform; do
    rm -rf "target/deps/burdockthread_$package"
    cp -r "libs/$package/burdockthread_$package" target/deps/
done
rm -rf target/deps/burdockthread
mkdir target/deps/burdockthread
cp libs/burdockthread/burdockthread/__init__.py \
    libs/burdockthread/burdockthread/platform_*.py target/deps/burdockthread/
python3 -m compileall -q target/deps
