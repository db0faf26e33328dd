#include <easylogging++.h>
#include <gtest/gtest.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Enabled, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
