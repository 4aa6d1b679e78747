# The options that every target of the project shares.
add_library(coltsfootfork_options INTERFACE)
target_compile_features(coltsfootfork_options INTERFACE cxx_std_17)
target_compile_options(coltsfootfork_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_include_directories(coltsfootfork_options INTERFACE
  "${CMAKE_SOURCE_DIR}/include")
target_compile_definitions(coltsfootfork_options INTERFACE
  BOOST_ASIO_DISABLE_THREADS
  BOOST_ERROR_CODE_HEADER_ONLY)

# coltsfootfork_add_module(NAME SOURCES file... [LIBRARIES target...])
# adds the static library coltsfootfork_NAME.
function(coltsfootfork_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_library(coltsfootfork_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(coltsfootfork_${name}
    PUBLIC coltsfootfork_options ${ARG_LIBRARIES})
  target_include_directories(coltsfootfork_${name}
    PUBLIC "${CMAKE_SOURCE_DIR}/src")
endfunction()

# coltsfootfork_add_test(NAME SOURCES file... [LIBRARIES target...])
# adds a Boost.Test program that ctest runs as NAME.
function(coltsfootfork_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_link_libraries(${name}_test PRIVATE
    coltsfootfork_options ${ARG_LIBRARIES} Boost::unit_test_framework)
  target_compile_definitions(${name}_test PRIVATE
    BOOST_TEST_DYN_LINK
    TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}")
  # Only one source may define the program's main function.
  list(GET ARG_SOURCES 0 main_source)
  set_source_files_properties(${main_source} PROPERTIES
    COMPILE_DEFINITIONS BOOST_TEST_MODULE=${name})
  target_include_directories(${name}_test PRIVATE
    "${CMAKE_SOURCE_DIR}/src" "${CMAKE_SOURCE_DIR}/tests")
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
