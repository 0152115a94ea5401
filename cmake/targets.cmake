# Adds every subfolder with a CMakeLists.txt, so that a new package needs no change of its parent's CMakeLists.txt.
function(crocuslane_add_packages)
    file(GLOB packages CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
    foreach(package IN LISTS packages)
        get_filename_component(folder ${package} DIRECTORY)
        add_subdirectory(${folder})
    endforeach()
endfunction()

# crocuslane_add_library(NAME SOURCES a.cpp ... LIBRARIES x ...): static library crocuslane_NAME, or without sources a
# header-only one.
function(crocuslane_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    if(ARG_SOURCES)
        add_library(crocuslane_${name} STATIC ${ARG_SOURCES})
        target_include_directories(crocuslane_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
        target_link_libraries(crocuslane_${name} PUBLIC ${ARG_LIBRARIES})
    else()
        add_library(crocuslane_${name} INTERFACE)
        target_include_directories(crocuslane_${name} INTERFACE ${PROJECT_SOURCE_DIR}/src/libs)
        target_link_libraries(crocuslane_${name} INTERFACE ${ARG_LIBRARIES})
    endif()
endfunction()

# crocuslane_add_plugin(NAME SOURCES ... LIBRARIES ...): object library plugin_NAME, because the linker would drop a
# self-registering object from a static library. Programs that link crocuslane_plugins contain all plug-ins.
add_library(crocuslane_plugins INTERFACE)
function(crocuslane_add_plugin name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_library(plugin_${name} OBJECT ${ARG_SOURCES})
    target_include_directories(plugin_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(plugin_${name} PUBLIC crocuslane_services ${ARG_LIBRARIES})
    target_sources(crocuslane_plugins INTERFACE $<TARGET_OBJECTS:plugin_${name}>)
    target_link_libraries(crocuslane_plugins INTERFACE crocuslane_services ${ARG_LIBRARIES})
endfunction()

# crocuslane_add_test(NAME SOURCES ... LIBRARIES ... DEFINITIONS ...): one Catch2 program and one CTest test of the same
# name. Link a plug-in under test by its object library: LIBRARIES plugin_NAME.
function(crocuslane_add_test name)
    if(NOT CROCUSLANE_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES;DEFINITIONS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE test_main ${ARG_LIBRARIES})
    target_compile_definitions(${name} PRIVATE ${ARG_DEFINITIONS})
    add_test(NAME ${name} COMMAND ${name})
endfunction()
