# CMake functions for the projects under packages/, platform/ and tests/.

# lacewing_library(NAME [target...]): adds a static library of src/*.c with
# public headers under include/, linked to the targets.
function(lacewing_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.c)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name} PUBLIC ${ARGN} m)
endfunction()

# lacewing_tests([target...]): adds one Check program, linked to the targets,
# and one test for each tests/test_*.c and test_*.c.
function(lacewing_tests)
  if(NOT LACEWING_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS
    ${CMAKE_CURRENT_SOURCE_DIR}/tests/test_*.c
    ${CMAKE_CURRENT_SOURCE_DIR}/test_*.c)
  foreach(test ${tests})
    get_filename_component(name ${test} NAME_WE)
    add_executable(${name} ${test})
    target_include_directories(${name} PRIVATE
      ${CMAKE_CURRENT_SOURCE_DIR}/src ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${ARGN} PkgConfig::CHECK)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
      ENVIRONMENT "LACEWING_BIN=${CMAKE_BINARY_DIR}/bin;LACEWING_SRC=${CMAKE_SOURCE_DIR}")
  endforeach()
endfunction()
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
