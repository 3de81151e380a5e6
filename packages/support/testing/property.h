#pragma once

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace waxwing
{

/// @brief Checks a RapidCheck property with a fixed seed, so that each run gives the same verdict; RC_PARAMS overrides the seed.
template<class Property>
void checkProperty(const std::string &name, Property property)
{
    static const bool isSeeded = setenv("RC_PARAMS", "seed=20261204", 0) == 0;
    CPPUNIT_ASSERT(isSeeded);
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
}

} // namespace waxwing
