/// \file
/// Bounds the threads that cpprestsdk starts for its clients and listeners.
#ifndef SESAMESPREAD_TRANSPORT_REST_THREADS_H_
#define SESAMESPREAD_TRANSPORT_REST_THREADS_H_

namespace sesamespread::transport {

/// Threads of the process that cpprestsdk uses; its own default is 40.
inline constexpr int kRestThreads = 4;

/// Starts cpprestsdk's pool with kRestThreads threads. Has no effect once the
/// pool runs, so it must come before the first client or listener; the clients
/// of this layer call it themselves.
void LimitRestThreads();

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_REST_THREADS_H_
