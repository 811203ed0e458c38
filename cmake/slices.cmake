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

# Lets a CMake target use the separately compiled Asio and Beast, with a precompiled header.
function(endivedock_use_net target)
    target_compile_definitions(${target} PUBLIC
        BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
        BOOST_ASIO_NO_DEPRECATED)
    # g++ 12 wrongly warns that the allocator of Asio's coroutine frames is mismatched.
    target_compile_options(${target} PRIVATE -Wno-mismatched-new-delete)
    target_link_libraries(${target} PUBLIC Threads::Threads)
    if(ENDIVEDOCK_PCH)
        target_precompile_headers(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src/net/precompiled.h)
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
