/// \file
/// Limits the threads that cpprestsdk starts for its clients and listeners.
#ifndef SESAMESPREAD_TRANSPORT_REST_THREADS_H_
#define SESAMESPREAD_TRANSPORT_REST_THREADS_H_

namespace sesamespread::transport {

/// Number of threads in the pool of cpprestsdk, whose default is 40.
inline constexpr int kRestThreads = 4;

/// Starts the pool of cpprestsdk with kRestThreads threads. Has no effect if
/// the pool is already running, so it must be called before the first client or
/// listener is created. The clients of this layer call it themselves.
void LimitRestThreads();

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_REST_THREADS_H_
