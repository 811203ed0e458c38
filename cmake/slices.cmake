# Functions that define one library for each duty and one test program for each library.

# endivedock_slice(NAME [NET] SOURCES ... [DEPENDS ...])
# Defines the static library endivedock_NAME. NET marks a library with I/O tasks: the library uses
# Asio and Beast, which the net library compiles once.
function(endivedock_slice name)
    cmake_parse_arguments(ARG "NET" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(endivedock_${name} STATIC ${ARG_SOURCES})
    target_include_directories(endivedock_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_compile_options(endivedock_${name} PRIVATE -Wall -Wextra)
    target_link_libraries(endivedock_${name} PUBLIC ${ARG_DEPENDS})
    if(ARG_NET)
        endivedock_use_net(endivedock_${name})
    endif()
endfunction()

# Sets what a CMake target needs to use the separately compiled Asio and Beast.
function(endivedock_set_net_options target)
    target_compile_definitions(${target} PUBLIC
        BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
        BOOST_ASIO_NO_DEPRECATED)
    # g++ 12 wrongly warns that the allocator of Asio's coroutine frames is mismatched.
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wno-mismatched-new-delete)
    # Boost::json defines macros, which must be the same wherever the precompiled header is used.
    target_link_libraries(${target} PUBLIC Threads::Threads Boost::json)
endfunction()

# The one precompiled header, which takes 250 MB on disk.
if(ENDIVEDOCK_PCH)
    add_library(endivedock_precompiled OBJECT ${PROJECT_SOURCE_DIR}/src/net/precompiled.cpp)
    target_include_directories(endivedock_precompiled PRIVATE ${PROJECT_SOURCE_DIR}/include)
    endivedock_set_net_options(endivedock_precompiled)
    target_precompile_headers(endivedock_precompiled PRIVATE
        ${PROJECT_SOURCE_DIR}/src/net/precompiled.h)
endif()

# Lets a CMake target use the separately compiled Asio and Beast, with the precompiled header.
function(endivedock_use_net target)
    endivedock_set_net_options(${target})
    if(ENDIVEDOCK_PCH)
        target_precompile_headers(${target} REUSE_FROM endivedock_precompiled)
    endif()
endfunction()

# endivedock_test(NAME [NET] SOURCES ... DEPENDS ...)
# Defines the test program NAME_test of the library NAME and the CTest test NAME that runs it.
function(endivedock_test name)
    cmake_parse_arguments(ARG "NET" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name}_test ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/main.cpp)
    target_compile_options(${name}_test PRIVATE -Wall -Wextra)
    target_link_libraries(${name}_test PRIVATE PkgConfig::CPPUNIT ${ARG_DEPENDS})
    if(ARG_NET)
        endivedock_use_net(${name}_test)
    endif()
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
