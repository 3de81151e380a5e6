#include <waxwing/support/utf8.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace waxwing;

class Utf8Test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Utf8Test);
    CPPUNIT_TEST(onlyUtf8IsRecognizedAsSuch);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against messages that their receiver can't parse, and against refusing names that it can.
    void onlyUtf8IsRecognizedAsSuch()
    {
        for (const std::string text :
             {"", "a", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"}) {
            CPPUNIT_ASSERT_MESSAGE(text, isUtf8("a" + text + "b"));
        }
        for (const std::string text : {"\x80", "\xbf", "\xc0\x80", "\xc1\xbf", "\xc3", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xed\xbf\xbf", "\xef\xbf",
                                       "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xff"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !isUtf8("a" + text));
            CPPUNIT_ASSERT_MESSAGE(text, !isUtf8("a" + text + "b"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Utf8Test);
