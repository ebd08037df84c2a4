package gorsemast.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import gorsemast.settings.GorsemastSettings;
import org.slf4j.LoggerFactory;

/** Sets Logback up as the settings say: one line an event on standard error, as text or as a JSON object. */
final class Logs {
    private Logs() {}

    /** Lets libraries say warnings and errors only, on standard error, where no settings tell how to log. */
    static void installQuiet() {
        install(new GorsemastSettings.Log(false, "warn"));
    }

    static void install(GorsemastSettings.Log log) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (log.json()) {
            JsonEncoder json = new JsonEncoder();
            json.setWithContext(false);
            json.setWithSequenceNumber(false);
            json.setWithArguments(false);
            json.setWithNanoseconds(false);
            json.setWithMessage(false);
            json.setWithFormattedMessage(true);
            encoder = json;
        } else {
            PatternLayoutEncoder text = new PatternLayoutEncoder();
            text.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5level %logger{0}: %msg%n");
            encoder = text;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(log.level()));
        root.addAppender(console);
    }
}
