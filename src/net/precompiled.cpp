// CMake precompiles a header for a target that has a source file.
