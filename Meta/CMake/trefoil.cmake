# Helpers that keep the packages' own CMakeLists.txt short.

# Boost.Asio settings must be the same in every translation unit, since Asio is header-only.
add_library(TrefoilAsio INTERFACE)
target_compile_definitions(TrefoilAsio INTERFACE BOOST_COROUTINES_NO_DEPRECATION_WARNING BOOST_ASIO_NO_DEPRECATED
    BOOST_BEAST_USE_STD_STRING_VIEW)
target_link_libraries(TrefoilAsio INTERFACE Boost::coroutine Boost::context Boost::system Threads::Threads)
add_library(Trefoil::Asio ALIAS TrefoilAsio)

# trefoil_library(<Name> SOURCES ... DEPENDS ...): one package below Libraries/, target Trefoil::<Name>.
function(trefoil_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(Trefoil${name} STATIC ${ARG_SOURCES})
    add_library(Trefoil::${name} ALIAS Trefoil${name})
    target_include_directories(Trefoil${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(Trefoil${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# trefoil_test(<Name> SOURCES ... DEPENDS ... [TIMEOUT ...] [SERIAL]): one Criterion program below Tests/, run by CTest. SERIAL runs its tests
# one at a time, and beside no other program.
function(trefoil_test name)
    cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} criterion)
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
    set(jobs 4)
    if(ARG_SERIAL)
        set(jobs 1)
    endif()
    add_test(NAME ${name} COMMAND ${name} --jobs ${jobs})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
    if(ARG_SERIAL)
        set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE)
    endif()
endfunction()
