package driftchute.node;

import java.lang.reflect.Proxy;

/**
 * Runs a task on SIGHUP, which would otherwise end the process. The JDK's signal class is used by reflection: it is
 * supported, but the compiler's warning about it cannot be suppressed where warnings are errors.
 */
final class HangupSignal {
    private HangupSignal() {}

    /** Runs the task on each SIGHUP, on a separate thread. */
    static void onSignal(final Runnable task) {
        try {
            final Class<?> signal = Class.forName("sun.misc.Signal");
            final Class<?> handler = Class.forName("sun.misc.SignalHandler");
            final Object runs = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), runs);
        } catch (final ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM cannot handle SIGHUP", e);
        }
    }
}
