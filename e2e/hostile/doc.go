// Package hostile tests the daemon with callers that do not keep to the limits: each test starts the
// daemon as a process on loopback, connects a crowd of such callers, and checks what does not depend
// on the speed of the machine: the process lives, its memory and descriptors stay within the
// limits of its VM, a refusal is true, and an ordinary request is answered. The tests run one after the
// other; tools/test.sh runs them apart from all other tests.
package hostile
