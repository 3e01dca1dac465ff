# filbertbeam_library(NAME [DEPENDS libraries...])
# Builds all sources of the current folder except Main.cpp into the static
# library filbertbeam_NAME.
function(filbertbeam_library aName)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.h)
  list(FILTER sources EXCLUDE REGEX "/Main\\.cpp$")
  add_library(filbertbeam_${aName} STATIC ${sources})
  target_include_directories(filbertbeam_${aName}
                             PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(filbertbeam_${aName} PUBLIC ${ARG_DEPENDS})
endfunction()

# filbertbeam_test(NAME [TIMEOUT seconds] [DEPENDS libraries...]
#                  [INCLUDES folders...])
# Builds all sources in tests/ of the current folder into one Boost.Test program
# test_NAME and registers it with CTest.
function(filbertbeam_test aName)
  if(FILBERTBEAM_GATEWAY_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "DEPENDS;INCLUDES" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp tests/*.h)
  add_executable(test_${aName} ${sources}
                 ${CMAKE_SOURCE_DIR}/src/base/tests/support/TestMain.cpp)
  target_compile_definitions(test_${aName} PRIVATE
    BOOST_TEST_DYN_LINK FILBERTBEAM_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests")
  target_include_directories(test_${aName} PRIVATE
    ${CMAKE_SOURCE_DIR}/src/base/tests/support ${ARG_INCLUDES})
  target_link_libraries(test_${aName} PRIVATE ${ARG_DEPENDS} Qt6::Core
                        Boost::unit_test_framework)
  add_test(NAME ${aName} COMMAND test_${aName} --log_level=test_suite)
  set_tests_properties(${aName} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# filbertbeam_test_programs(PREFIX [TIMEOUT seconds] [SERIAL]
#                           [DEPENDS libraries...])
# Builds each Test*.cpp of the current folder into its own Boost.Test program
# test_PREFIX_NAME and registers it with CTest.
function(filbertbeam_test_programs aPrefix)
  cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS Test*.cpp)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    string(REPLACE "Test" "" name ${name})
    string(TOLOWER ${aPrefix}_${name} name)
    add_executable(test_${name} ${source}
                   ${CMAKE_SOURCE_DIR}/src/base/tests/support/TestMain.cpp)
    target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(test_${name} PRIVATE
      ${ARG_DEPENDS} Qt6::Core Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND test_${name} --log_level=test_suite)
    set_tests_properties(${name} PROPERTIES
      TIMEOUT ${ARG_TIMEOUT} RUN_SERIAL ${ARG_SERIAL})
  endforeach()
endfunction()
