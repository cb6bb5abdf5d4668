#include "net/fiber_runtime.h"

#include "net/fiber_event.h"

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <boost/fiber/scheduler.hpp>
#include <glog/logging.h>

namespace snipestream
{

namespace
{

/// Stack size of a fiber, large enough for Beast, JSON and OpenSSL calls. Only touched pages count as resident memory.
constexpr size_t kStackBytes = 128 * 1024;

/// Number of yields to ready fibers after which asio handlers are polled even if fibers are still ready.
constexpr unsigned kYieldsPerPoll = 8;

/// Round-robin scheduler that counts the ready worker fibers, so that the main loop can tell when it may block in the
/// io_context. The dispatcher fiber is always ready and is therefore not counted.
class CountingRoundRobin : public boost::fibers::algo::algorithm
{
public:
    void awakened(boost::fibers::context *context) noexcept override
    {
        readyWorkers_ += isWorker(context) ? 1 : 0;
        context->ready_link(queue_);
    }

    auto pick_next() noexcept -> boost::fibers::context * override // NOLINT(readability-identifier-naming)
    {
        if (queue_.empty()) {
            return nullptr;
        }
        auto *const context = &queue_.front();
        queue_.pop_front();
        readyWorkers_ -= isWorker(context) ? 1 : 0;
        return context;
    }

    [[nodiscard]] auto has_ready_fibers() const noexcept -> bool override // NOLINT(readability-identifier-naming)
    {
        return !queue_.empty();
    }

    void suspend_until(const std::chrono::steady_clock::time_point &) noexcept override // NOLINT(readability-identifier-naming)
    {
        // The main fiber never blocks outside the io_context, so the dispatcher never needs to sleep.
    }

    void notify() noexcept override
    {
    }

    [[nodiscard]] auto readyWorkers() const -> size_t
    {
        return readyWorkers_;
    }

private:
    static auto isWorker(const boost::fibers::context *context) -> bool
    {
        return context->is_context(boost::fibers::type::worker_context);
    }

    boost::fibers::scheduler::ready_queue_type queue_;
    size_t readyWorkers_ = 0;
};

/// Returns the scheduling algorithm of this thread and installs it at the first call.
auto threadAlgorithm() -> CountingRoundRobin *
{
    thread_local CountingRoundRobin *installed = nullptr;
    if (installed == nullptr) {
        auto algorithm = boost::intrusive_ptr<CountingRoundRobin>(new CountingRoundRobin);
        installed = algorithm.get();
        boost::fibers::context::active()->get_scheduler()->set_algo(algorithm);
    }
    return installed;
}

} // namespace

struct FiberRuntime::State {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard{context.get_executor()};
    boost::fibers::pooled_fixedsize_stack stacks{kStackBytes, 32, 0};
    CountingRoundRobin *algorithm = threadAlgorithm();
    size_t fiberCount = 0;
    bool stopping = false;
};

FiberRuntime::FiberRuntime()
    : state_(std::make_unique<State>())
{
}

FiberRuntime::~FiberRuntime() = default;

auto FiberRuntime::context() -> boost::asio::io_context &
{
    return state_->context;
}

void FiberRuntime::spawn(std::function<void()> body)
{
    ++state_->fiberCount;
    const auto run = [state = state_.get(), body = std::move(body)]() mutable {
        body();
        body = nullptr;
        --state->fiberCount;
    };
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, state_->stacks, run).detach();
}

void FiberRuntime::run()
{
    unsigned yields = 0;
    while (!state_->stopping || state_->fiberCount > 0) {
        if (state_->algorithm->readyWorkers() == 0) {
            // No fiber can become ready until a handler runs.
            state_->context.run_one();
            continue;
        }
        boost::this_fiber::yield();
        // Each poll is a system call, so handlers are polled only once in several yields while fibers stay ready.
        if (++yields % kYieldsPerPoll == 0) {
            state_->context.poll();
        }
    }
    state_->stopping = false;
}

void FiberRuntime::stop()
{
    state_->stopping = true;
    boost::asio::post(state_->context, [] {});
}

void FiberRuntime::runToEnd(std::function<void()> body)
{
    spawn([this, body = std::move(body)] {
        body();
        stop();
    });
    run();
}

auto FiberRuntime::fiberCount() const -> size_t
{
    return state_->fiberCount;
}

void FiberRuntime::sleepFor(Duration duration)
{
    FiberEvent done;
    boost::asio::steady_timer timer(state_->context, duration);
    timer.async_wait([&done](const boost::system::error_code &) {
        done.notify();
    });
    done.wait();
}

} // namespace snipestream
