package org.boragegap.app;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Takes SIGHUP, by which an operator says that the settings file has changed.
 *
 * <p>Without a handler the JVM ends on SIGHUP, and the callers of this VM lose their connections
 * each time that settings change. The JDK's signal API is supported but not part of Java SE, and
 * the compiler hides it from a release build; so it is reached by reflection.
 */
final class HangupSignal {
    private static final Logger sLog = LogManager.getLogger(HangupSignal.class);

    private HangupSignal() {}

    /** Calls {@code action} on each SIGHUP, on a thread of the JVM. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> call(self, method, arguments, action));
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            sLog.warn("SIGHUP can't be handled, it ends this process: {}", e.toString());
        }
    }

    private static Object call(Object self, Method method, Object[] arguments, Runnable action) {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> self == arguments[0];
            case "hashCode" -> System.identityHashCode(self);
            default -> "SIGHUP handler";
        };
    }
}
