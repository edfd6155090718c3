# Helpers that turn a folder into a target, so that a new source file needs no build change.

add_library(trefoilhoist_options INTERFACE)
target_compile_options(trefoilhoist_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(trefoilhoist_options INTERFACE
    TREFOILHOIST_VERSION="${PROJECT_VERSION}"
    $<$<BOOL:${TREFOILHOIST_CHECK_LOCKS}>:TREFOILHOIST_CHECK_LOCKS>)

# Makes program `name` from folder `dir`: main.cpp alone becomes the executable, the rest the library
# `<name>-lib`, which tests link as well.
function(trefoilhoist_program name dir)
    file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp ${dir}/internal/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    if(sources)
        add_library(${name}-lib STATIC ${sources})
        target_include_directories(${name}-lib PUBLIC ${dir} ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
        target_link_libraries(${name}-lib PUBLIC trefoilhoist trefoilhoist_options)
    else()
        add_library(${name}-lib INTERFACE)
        target_link_libraries(${name}-lib INTERFACE trefoilhoist trefoilhoist_options)
    endif()
    set_property(GLOBAL APPEND PROPERTY TREFOILHOIST_PROGRAM_LIBS ${name}-lib)
    if(EXISTS ${dir}/main.cpp)
        add_executable(${name} ${dir}/main.cpp)
        target_link_libraries(${name} PRIVATE ${name}-lib)
        set_property(GLOBAL APPEND PROPERTY TREFOILHOIST_PROGRAMS ${name})
    endif()
endfunction()
