# sapphirecrank_package(NAME [DEPENDS ...]) adds a static library for src/NAME, or an interface
# library if there are no sources.
function(sapphirecrank_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cc)
  if(sources)
    add_library(sapphirecrank_${name} STATIC ${sources})
    set(visibility PUBLIC)
  else()
    add_library(sapphirecrank_${name} INTERFACE)
    set(visibility INTERFACE)
  endif()
  target_link_libraries(sapphirecrank_${name} ${visibility} Threads::Threads ${ARG_DEPENDS})
endfunction()

# sapphirecrank_test(NAME [DEPENDS ...]) adds the CppUTest binary NAME_tests for tests/NAME.
function(sapphirecrank_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc)
  if(sources)
    add_executable(${name}_tests ${sources} ${CMAKE_SOURCE_DIR}/tests/test_main.cc)
    target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR})
    # CppUTest's macros for new and malloc break library headers; the address sanitizer finds leaks.
    target_compile_definitions(${name}_tests PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    target_link_libraries(${name}_tests PRIVATE ${ARG_DEPENDS} rapidcheck CppUTest CppUTestExt)
    set_target_properties(${name}_tests PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test_bin)
  endif()
endfunction()

# sapphirecrank_bench(NAME [DEPENDS ...]) adds the measurement program bench_NAME for bench/NAME.
function(sapphirecrank_bench name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/${name}/*.cc)
  if(sources)
    add_executable(bench_${name} ${sources})
    target_include_directories(bench_${name} PRIVATE ${CMAKE_SOURCE_DIR})
    target_link_libraries(bench_${name} PRIVATE ${ARG_DEPENDS})
  endif()
endfunction()
