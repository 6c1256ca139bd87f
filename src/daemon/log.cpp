#include "daemon/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace bramleygrade {

namespace {

log4cxx::LoggerPtr entryLogger()
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("bramleygrade");
    return logger;
}

} // namespace

bool isLogLevel(const std::string &level)
{
    return level == "trace" || level == "debug" || level == "info" || level == "warn"
        || level == "error";
}

void configureLogging(const entry_settings &settings)
{
    const std::string pattern = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} level=%p instance=" + settings.name
        + " domain=" + settings.failure_domain + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    entryLogger()->setLevel(log4cxx::Level::toLevel(settings.log_level));
}

void logInfo(const std::string &line)
{
    LOG4CXX_INFO(entryLogger(), line);
}
void logWarning(const std::string &line)
{
    LOG4CXX_WARN(entryLogger(), line);
}
void logError(const std::string &line)
{
    LOG4CXX_ERROR(entryLogger(), line);
}

} // namespace bramleygrade
