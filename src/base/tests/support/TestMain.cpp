#include <QCoreApplication>

#define BOOST_TEST_NO_MAIN
#include <boost/test/unit_test.hpp>

namespace {

bool
InitializeUnitTest()
{
  return true;
}

} // namespace

// Tests that use sockets need a Qt event loop, so the application object is
// created before the first test runs.
int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  return boost::unit_test::unit_test_main(&InitializeUnitTest, argc, argv);
}
