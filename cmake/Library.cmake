add_library(pq_options INTERFACE)
target_include_directories(pq_options INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_options(pq_options INTERFACE -Wall -Wextra -Werror)

# pq_library(NAME SOURCES file... TESTS file... DEPENDS target...)
#
# Adds the static library pq_NAME for the folder NAME. If TESTS are given, adds
# one test program NAME_test that contains all of them.
function(pq_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS" ${ARGN})
  add_library(pq_${NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(pq_${NAME} PUBLIC pq_options pq_proto ${ARG_DEPENDS})
  if(ARG_TESTS AND PERSIMMONQUAY_TESTS)
    add_executable(${NAME}_test ${ARG_TESTS}
      ${CMAKE_SOURCE_DIR}/testing/test_main.cc)
    target_link_libraries(${NAME}_test PRIVATE pq_${NAME})
    set_target_properties(${NAME}_test PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    add_test(NAME ${NAME}_test COMMAND ${NAME}_test)
  endif()
endfunction()
