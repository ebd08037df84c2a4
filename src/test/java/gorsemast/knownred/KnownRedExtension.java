package gorsemast.knownred;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Lets the tests of {@link KnownRed} fail, and no others: a failure of such a test's own body is printed with its cause and
 * counts as skipped; one of these tests that has run and not failed fails its class. Registered for all tests of JUnit's own
 * engine by {@code META-INF/services}.
 */
public final class KnownRedExtension
        implements TestExecutionExceptionHandler, AfterTestExecutionCallback, AfterAllCallback {
    /** Names another file than {@link KnownRed#FILE}. */
    static final String PARAMETER = "gorsemast.knownRed";

    private static final ExtensionContext.Namespace NAMESPACE =
            ExtensionContext.Namespace.create(KnownRedExtension.class);

    /** The list and, for each listed test that ran, whether it failed in any of its runs; one for all classes. */
    private record Runs(KnownRed list, Map<String, Boolean> failed) {}

    private static Runs runs(ExtensionContext context) {
        return context.getRoot()
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(
                        Runs.class,
                        key -> new Runs(
                                KnownRed.of(Path.of(context.getConfigurationParameter(PARAMETER)
                                        .orElse(KnownRed.FILE))),
                                new ConcurrentHashMap<>()),
                        Runs.class);
    }

    private static KnownRed.Entry entry(ExtensionContext context) {
        return runs(context)
                .list
                .entry(context.getRequiredTestClass().getName()
                        + '#'
                        + context.getRequiredTestMethod().getName());
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable thrown) throws Throwable {
        KnownRed.Entry entry = entry(context);
        if (entry == null || thrown instanceof TestAbortedException) {
            throw thrown;
        }
        String line = "KNOWN RED " + entry.test() + ": " + entry.cause() + " (issue " + entry.issue() + "): " + thrown;
        System.out.println(line);
        runs(context).failed.put(entry.test(), true);
        throw new TestAbortedException(line, thrown);
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        KnownRed.Entry entry = entry(context);
        if (entry != null) {
            runs(context).failed.putIfAbsent(entry.test(), false);
        }
    }

    @Override
    public void afterAll(ExtensionContext context) {
        String of = context.getRequiredTestClass().getName() + '#';
        runs(context).failed.forEach((test, failed) -> {
            if (test.startsWith(of) && !failed) {
                throw new AssertionError(test + " is in " + KnownRed.FILE + " and did not fail; take it out");
            }
        });
    }
}
